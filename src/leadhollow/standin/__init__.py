"""Stand-ins for the systems around leadhollow: engines, services, the origin and callers.

Tests, benchmarks and the demo use them. Each stand-in can inject faults and records what it saw in
a ledger.
"""
