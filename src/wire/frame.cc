// Placeholder until the peer protocol stands.
