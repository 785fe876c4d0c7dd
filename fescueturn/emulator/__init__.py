"""An emulated fleet in virtual time: the real reducers, without a network."""
