"""The users' platform: its names and messages, translated to the product's and back."""
