//! Open-loop load generator and experiments.
