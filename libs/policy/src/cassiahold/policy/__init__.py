"""Scheduling decisions without I/O; time is always an argument."""
