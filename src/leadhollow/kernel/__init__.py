"""Service lifecycle, clocks and timers shared by all processes."""
