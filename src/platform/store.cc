// Placeholder until the store client stands.
