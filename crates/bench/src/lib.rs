//! Load tool and measurements, for development only.
