"""One replicated group that forms itself, runs jobs of steps, calls workers."""
