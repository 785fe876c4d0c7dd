"""Jobs of leased runs: endpoints owned by a host, jobs placed on them."""
