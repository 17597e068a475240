"""The scheduler daemon: one replicated scheduler group for each data centre.

A group accepts jobs, places their tasks on the workers of its data centre
and splits the slots of targets over gateways.  Jobs, tasks and workers are
replicated state; everything else is kept in memory by the group's leader.
"""
