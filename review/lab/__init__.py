"""Stand-ins for the review's scripts: the platform's store, runners, callers and a small site."""
