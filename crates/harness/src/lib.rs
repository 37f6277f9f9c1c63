//! Process runner and fault-injecting proxy for the integration tests.
