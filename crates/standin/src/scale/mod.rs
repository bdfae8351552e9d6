//! A large platform for measurements: a store, a directory and a thousand workers or more, and
//! clients that submit jobs at a steady rate.
//!
//! Unlike [`crate::site`], it checks nothing and can't be disturbed, and all that it does for a
//! command is constant work. Workers listen on addresses of their own within the loopback network,
//! so that an owner's connections are as many as on a platform of that size.

mod http;
pub mod load;
pub mod platform;
mod store;
pub mod worker;
