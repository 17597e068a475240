"""The gateway daemon: HTTP for callers, workers, targets and operators.

A gateway leases the configuration from the coordinator group, and slots of
targets from the scheduler group of its data centre.  It stores nothing.
"""
