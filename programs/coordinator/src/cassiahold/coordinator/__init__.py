"""The coordinator daemon: one replicated group for the whole cell.

The coordinator group stores the configuration and keys, leases them to
gateways, and splits the limits of teams over the data centres.
"""
