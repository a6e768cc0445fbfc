"""The adapter to the users' platform: translates its messages to the product's types and back."""
