//! Cold endpoints, which get no more requests per second than they take.

use std::time::Duration;

use ringbend_gateway::{ColdProfile, Directory};
use ringbend_types::{DataCentre, EndpointId, ServiceName, Timestamp};

use crate::node::Node;

impl Node {
    fn cold_profile(&self, service: &ServiceName) -> Option<ColdProfile> {
        self.replica.borrow().snapshot()?.service(service)?.cold
    }

    /// The requests per second that this instance may place on each cold endpoint of a service;
    /// `None` if there is no cold one or no limit. Only schedulers place requests on cold
    /// endpoints, because they know how many they are.
    pub(crate) fn cold_share(
        &self,
        now: Timestamp,
        directory: &Directory,
        service: &ServiceName,
    ) -> Option<f64> {
        if !directory.has_cold() {
            return None;
        }
        let profile = self.cold_profile(service)?;
        if !self.is_scheduler() {
            return Some(0.0);
        }
        let tolerance = self.cfg.borrow().bounds.cold_tolerance();
        Some(profile.share(tolerance, self.peers.borrow().known_schedulers(now)))
    }

    /// Whether an endpoint is cold and may get no request from this instance now, of which `share`
    /// a second are allowed.
    pub(crate) fn is_paced_out(
        &self,
        now: Timestamp,
        directory: &Directory,
        endpoint: &EndpointId,
        share: f64,
    ) -> bool {
        !directory.cold_left(now, endpoint).is_zero()
            && !self.cold_pacing.borrow_mut().has_room(now, endpoint, share)
    }

    /// Records that a request was placed on an endpoint, which may be cold.
    pub(crate) fn record_cold_placement(&self, endpoint: &EndpointId) {
        self.cold_pacing.borrow_mut().record_placed(endpoint);
    }

    /// Records that an endpoint's process has just started, which makes it cold.
    pub(crate) fn note_cold_start(&self, endpoint: &EndpointId) {
        let service = self.directory.borrow().get(endpoint).map(|known| known.service.clone());
        let profile = service.and_then(|service| self.cold_profile(&service));
        self.note_cold(endpoint, profile.map_or(Duration::ZERO, |profile| profile.start));
    }

    /// Treats the endpoints of a data centre as cold because its evacuation has ended: they got no
    /// requests, and some may have been restarted.
    pub(crate) fn note_cold_data_centre(&self, data_centre: &DataCentre) {
        let directory = self.directory.borrow();
        let here = directory.registered().filter(|endpoint| endpoint.data_centre == *data_centre);
        let endpoints: Vec<EndpointId> = here.map(|endpoint| endpoint.id.clone()).collect();
        drop(directory);
        endpoints.iter().for_each(|endpoint| self.note_cold_start(endpoint));
    }

    fn note_cold(&self, endpoint: &EndpointId, time: Duration) {
        if time.is_zero() {
            return;
        }
        log::info!(target: "endpoints", endpoint:%, cold_ms = time.as_millis() as u64; "endpoint is cold");
        let now = self.clock.now();
        self.directory.borrow_mut().note_cold(now, endpoint, now + time);
    }

    /// Drops the pacing state of endpoints that are no longer cold.
    pub(crate) fn sweep_cold_endpoints(&self, now: Timestamp) {
        self.directory.borrow_mut().sweep_cold(now);
        let directory = self.directory.borrow();
        let is_cold = |id: &EndpointId| !directory.cold_left(now, id).is_zero();
        self.cold_pacing.borrow_mut().retain(is_cold);
        self.metrics.cold_endpoints.set(directory.cold_count(now) as i64);
    }
}
