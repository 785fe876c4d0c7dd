"""A fleet in virtual time: real reducers, emulated endpoints and store."""
