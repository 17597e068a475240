"""Load balancing of live requests over the targets of a data centre.

A slot is the right to have one request in progress at a target.  The leader
of a scheduler group splits the slots of each target over the gateways
(``ledger``).  Each gateway assigns requests to the slots it was granted
(``dispatcher``).  Nothing here reads a clock; every method takes the current
time as an argument.
"""
