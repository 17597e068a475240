"""Randomised runs of the real protocol code under faults.

Each fault run has a Hypothesis state machine.  Tests run it with fixed
seeds, ``cassiahold-bench soak`` with new ones for a given time.
"""
