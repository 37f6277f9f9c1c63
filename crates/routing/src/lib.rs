//! Lookup order, choice of owner, outlier ejection, retries and hedging.
