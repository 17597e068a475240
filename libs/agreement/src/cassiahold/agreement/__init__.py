"""Consensus between the replicas of a group, by the Raft algorithm.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.  The
implementation includes pre-vote, check-quorum, a leader lease and membership
changes of one voter at a time.
"""
