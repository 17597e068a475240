"""Model checking of the PRISM specifications in ``models``."""
