//! The stand-ins and experiments of ebonyfork.
