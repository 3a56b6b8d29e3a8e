"""Records of traffic: one format for what relays, model runs and trials did."""
