"""Jobs of steps: replicated state, leases on workers, placement, advice."""
