"""The cell: one self-forming replicated group that runs jobs on workers."""
