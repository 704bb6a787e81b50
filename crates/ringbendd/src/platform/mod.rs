//! The platform's services, each behind a port; the clients here speak HTTP by `awc`.

mod endpoints;
mod http;
mod list;
mod objects;
mod table;

pub(crate) use endpoints::{EndpointControl, HttpEndpoints};
pub(crate) use http::{CallError, HttpClient};
pub(crate) use list::{HttpInstanceList, InstanceList};
pub(crate) use objects::{HttpObjects, ObjectStore};
pub(crate) use table::{HttpTable, TableService};
