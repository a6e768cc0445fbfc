"""Pure decision functions and state: the caller passes the time; no I/O and no tasks."""
