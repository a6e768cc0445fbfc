"""What processes of one site tell each other: who is there, and changes of the store's tables."""
