"""The demo: loads a cell on loopback, kills processes and prints a table."""
