//! Handling of a caller's request up to the start of its response.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{ConnectionType, RequestHead};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use rand::Rng;
use ringbend_gateway::{AdmissionRequest, Admitted, Attempts, admit};
use ringbend_runtime::{BodyError, Handler, HttpRequest, HttpResponse, catch_panic, read_chunks};
use ringbend_types::Timestamp;

use crate::active_request::{ActiveRequest, OriginalRequest, RequestConfig};
use crate::buffers::{BodyBuffer, BodyKind, HeldBytes, NoRoom};
use crate::fingerprint::FingerprintBuilder;
use crate::guarded_body::GuardedBody;
use crate::headers::content_length;
use crate::log_fields::Millis;
use crate::node::Node;
use crate::ports::RequestMetadata;
use crate::refusal::Refusal;
use crate::suspect_keys::SuspectKeys;

/// How long a request waits for the initial state of an instance that has just started. The first
/// copies take some tens of milliseconds; the shortest target times to the first event are 120 and
/// 300 ms.
const STARTUP_WAIT: Duration = Duration::from_millis(200);

/// Serves callers.
pub(crate) struct Callers {
    pub(crate) node: Rc<Node>,
}

impl Handler for Callers {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.handle_request(req).await })
    }

    fn refuse(&self, req: &HttpRequest) -> HttpResponse {
        match self.node.dialect.parse_request(req.head()) {
            Ok(metadata) => self.refusal_response(&metadata, Refusal::NoConnectionRoom),
            Err(_) => Refusal::NoConnectionRoom.into_response(None),
        }
    }
}

impl Callers {
    async fn handle_request(&self, req: HttpRequest) -> HttpResponse {
        let arrived_at = self.node.clock.now();
        let open = self.node.track_request();
        let mut metadata = RequestMetadata::default();
        let prepared = {
            let preparing = pin!(self.prepare(req, &mut metadata, arrived_at));
            catch_panic(preparing).await
        };
        let prepared = prepared.unwrap_or_else(|panic| {
            self.node.record_panic(metadata.request_id.as_deref().unwrap_or("-"), &panic);
            Err(Refusal::InternalNotRun)
        });
        let res = match prepared {
            Ok(request) => request.run().await,
            Err(refusal) => self.refusal_response(&metadata, refusal),
        };
        // The request is open until its response is written.
        let res = self.with_connection_close(res);
        res.map_body(|_, body| GuardedBody::new(body, open).boxed())
    }

    /// Logs and counts a refusal, and returns its response.
    fn refusal_response(&self, metadata: &RequestMetadata, refusal: Refusal) -> HttpResponse {
        let id: Arc<str> = metadata.request_id.clone().unwrap_or_else(|| "-".into());
        let version = self.node.replica.borrow().version().unwrap_or_default();
        let age = self.node.replica.borrow().age(self.node.clock.now());
        let code = refusal.code();
        log::info!(
            target: "request", id:%, code, config:% = version, config_age_ms:% = Millis(age);
            "request refused"
        );
        self.node.metrics.failure(code);
        let mut res = refusal.into_response(None);
        self.node.dialect.mark_local_response(metadata, res.headers_mut());
        res
    }

    /// While the instance is stopping, or no endpoint is reached, each response closes its
    /// connection, so that the caller's next one may be to another instance.
    fn with_connection_close(&self, mut res: HttpResponse) -> HttpResponse {
        if self.node.stopping_since.get().is_some() || self.node.is_cut_off() {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        res
    }

    /// Admits a request and reads its body. Sets `metadata` as soon as it is known.
    async fn prepare(
        &self,
        mut req: HttpRequest,
        metadata: &mut RequestMetadata,
        arrived_at: Timestamp,
    ) -> Result<Box<ActiveRequest>, Refusal> {
        *metadata = self.node.dialect.parse_request(req.head()).map_err(|e| {
            log::info!(target: "request", error:% = e; "invalid request head");
            Refusal::BadHead
        })?;
        if self.node.refuses_new_requests() {
            return Err(Refusal::Stopping);
        }
        self.wait_for_initial_state().await;
        let admitted = self.admit(&req, metadata, arrived_at)?;
        let limits = admitted.snapshot.limits;
        let deadline = arrived_at + admitted.route.timeout.min(client_timeout(metadata));
        let timeout = deadline.since(self.node.clock.now());
        let fingerprint =
            FingerprintBuilder::new(admitted.account.as_ref(), host(req.head()), req.head());
        let body = self.read_body(&mut req, limits.body_bytes, timeout).await;
        let (body, held) = body.map_err(|e| Refusal::from(&e))?;
        if self.node.refuses_new_requests() {
            // The instance stopped accepting requests while the body was uploaded.
            return Err(Refusal::Stopping);
        }
        let fingerprint = fingerprint.finish(&body).await;
        let sample = self.node.rng.borrow_mut().random::<f64>();
        let service = admitted.route.pick_service(sample).ok_or(Refusal::NoService)?.clone();
        let service = admitted.snapshot.service(&service).ok_or(Refusal::NoService)?.clone();
        self.node.budget.borrow_mut().record_request(self.node.clock.now(), &service.name);
        let Admitted { route, account, snapshot } = admitted;
        let priority = account.as_ref().and_then(|account| account.priority);
        let priorities = self.node.priorities(&service.name);
        let rank = priorities.rank(priority.unwrap_or(route.priority));
        let attempts =
            Attempts::new(route.repeat, route.max_runs, deadline).with_rank(rank, arrived_at);
        let keys = SuspectKeys::new(fingerprint, service.name.clone(), metadata.parts.clone());
        let (head, keys) = (req.head().clone(), Rc::new(keys));
        let original = OriginalRequest { head, body, keys, _held: held };
        let mut request = Box::new(ActiveRequest::new(
            self.node.clone(),
            metadata.clone(),
            original,
            RequestConfig { route, account, service, version: snapshot.version },
            attempts,
            arrived_at,
        ));
        if let Some(cause) = request.held_for() {
            request.is_trial = self.node.claim_trial(cause).await;
        }
        Ok(request)
    }

    /// Reads the body, whose bytes are counted until the request has ended.
    async fn read_body(
        &self,
        req: &mut HttpRequest,
        limit: usize,
        timeout: Duration,
    ) -> Result<(Bytes, HeldBytes), BodyError> {
        let size = content_length(req.head().headers());
        if size.is_some_and(|size| size > limit) {
            return Err(BodyError::TooLarge(limit));
        }
        let no_room = |NoRoom| BodyError::NoRoom;
        let held = self.node.buffers.body(BodyKind::Request);
        let mut body = BodyBuffer::new(held, size, limit).await.map_err(no_room)?;
        read_chunks(req.take_payload(), timeout, async |chunk| {
            if body.exceeds_limit(chunk.len()) {
                return Err(BodyError::TooLarge(limit));
            }
            body.push(&chunk).await.map_err(no_room)
        })
        .await?;
        Ok(body.finish())
    }

    /// Delays a request that arrives right after the start until the first copies are available.
    async fn wait_for_initial_state(&self) {
        let until = tokio::time::Instant::now() + STARTUP_WAIT;
        while !self.node.has_initial_state() {
            let startup_progress = self.node.startup_progress.notified();
            if tokio::time::timeout_at(until, startup_progress).await.is_err() {
                return;
            }
        }
    }

    fn admit(
        &self,
        req: &HttpRequest,
        metadata: &RequestMetadata,
        arrived_at: Timestamp,
    ) -> Result<Admitted, Refusal> {
        let head = req.head();
        let request = AdmissionRequest {
            host: host(head),
            path: head.uri.path(),
            key: metadata.api_key.as_deref(),
        };
        let bounds = self.node.cfg.borrow().bounds.admission_bounds();
        admit(&self.node.replica.borrow(), arrived_at, &bounds, request).map_err(Refusal::Denied)
    }
}

/// The requested host.
fn host(head: &RequestHead) -> &str {
    let named = head.headers().get("host").and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

/// How long the caller waits; unlimited if it does not say, so that the route's timeout applies.
fn client_timeout(metadata: &RequestMetadata) -> Duration {
    metadata.client_timeout.unwrap_or(Duration::MAX)
}
