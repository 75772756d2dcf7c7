"""What one process is told at its start, read and checked."""
