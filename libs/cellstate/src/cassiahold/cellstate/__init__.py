"""Replicated state machines of the scheduler and coordinator groups.

They are deterministic: no I/O, no clock, no randomness.  Times are part of the
commands.
"""
