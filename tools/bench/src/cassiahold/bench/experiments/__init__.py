"""Experiments that measure scheduling decisions against targets.

Most rows also name a simple baseline policy and what it reaches.  Only the
decision code runs; workers, targets and advisors are simulated.
"""
