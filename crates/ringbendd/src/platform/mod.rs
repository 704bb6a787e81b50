//! The platform's services, each behind a trait, with clients that speak HTTP through `awc`.

mod endpoints;
mod http;
mod instance_list;
mod objects;
mod table;

pub(crate) use endpoints::{EndpointControl, HttpEndpoints};
pub(crate) use http::{CallError, HttpClient, is_unsent};
pub(crate) use instance_list::{HttpInstanceList, InstanceList};
pub(crate) use objects::{HttpObjects, ObjectStore};
pub(crate) use table::{HttpTable, TableService};
