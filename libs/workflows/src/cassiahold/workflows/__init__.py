"""Multi-step jobs: replicated state, worker leases, placement, advisors."""
