//! Load tool and measurements.
