"""The gateway daemon: HTTP for callers, workers, targets and operators.

A gateway keeps no state of its own beyond leases: the configuration is
leased from the coordinator group, slots of targets from the scheduler group
of its data centre.
"""
