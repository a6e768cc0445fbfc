"""Decisions as functions of values: no clock, no sockets, no tasks of their own."""
