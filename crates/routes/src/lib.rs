//! The route table: matches a request by its host and the longest prefix of its path, and chooses one of the
//! route's services by weight.

pub mod prelude;

mod table;
