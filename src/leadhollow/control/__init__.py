"""The control process: replica of the log, backend servers that announce themselves, feeds."""
