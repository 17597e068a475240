"""Messages and gRPC transport between the processes of the system."""
