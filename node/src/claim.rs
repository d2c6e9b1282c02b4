//! The right to run a non-idempotent call, held through the key-value service.
