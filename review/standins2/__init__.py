"""Stand-ins of the platform, plain services and callers for the scripts of this review."""
