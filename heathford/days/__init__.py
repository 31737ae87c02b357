"""Days: scripted arrivals and faults, played on a local deployment, recorded at the sockets and judged."""
