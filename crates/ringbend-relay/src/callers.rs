//! A caller's request from its head to the first bytes of its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{ConnectionType, RequestHead};
use futures_util::future::LocalBoxFuture;
use rand::Rng;
use ringbend_gateway::{AdmissionRequest, Admitted, Attempts, admit};
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, read_body_with};
use ringbend_types::Timestamp;

use crate::fields::Millis;
use crate::fingerprint::FingerprintMaker;
use crate::life::{Life, Origin, Terms};
use crate::node::Node;
use crate::ports::RequestMetadata;
use crate::refusal::Refusal;

/// How long a request waits for an instance that has just started. The first copies take some tens of
/// milliseconds; the tightest aims are 120 and 300 ms.
const BEGIN_TIME: Duration = Duration::from_millis(200);

/// Answers callers.
pub(crate) struct Callers {
    pub(crate) node: Rc<Node>,
}

impl Handler for Callers {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(req).await })
    }
}

impl Callers {
    async fn answer(&self, req: HttpRequest) -> HttpResponse {
        let arrived = self.node.clock.now();
        let call = match self.node.dialect.parse_request(req.head()) {
            Ok(call) => call,
            Err(e) => {
                log::info!(target: "request", error:% = e; "head refused");
                return self.closing(Refusal::BadHead.answer(None));
            }
        };
        let id: Arc<str> = call.request_id.clone().unwrap_or_else(|| "-".into());
        let res = match self.serve(req, &call, arrived).await {
            Ok(res) => res,
            Err(refusal) => {
                let version = self.node.replica.borrow().version().unwrap_or_default();
                let age = self.node.replica.borrow().age(arrived);
                let code = refusal.code();
                log::info!(
                    target: "request", id:%, code, config:% = version, config_age_ms:% = Millis(age);
                    "refused"
                );
                self.node.metrics.failure(code);
                let mut res = refusal.answer(None);
                self.node.dialect.mark_local_response(&call, res.headers_mut());
                res
            }
        };
        self.closing(res)
    }

    /// While the instance stops, each answer is the last one of its connection.
    fn closing(&self, mut res: HttpResponse) -> HttpResponse {
        if self.node.stopping.get().is_some() {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        res
    }

    async fn serve(
        &self,
        mut req: HttpRequest,
        call: &RequestMetadata,
        arrived: Timestamp,
    ) -> Result<HttpResponse, Refusal> {
        if self.node.is_past_last_call() {
            return Err(Refusal::Stopping);
        }
        let open = self.node.open();
        self.wait_to_begin().await;
        let admitted = self.admit(&req, call, arrived)?;
        let limits = admitted.snapshot.limits;
        let deadline = arrived + admitted.route.timeout.min(patience(call));
        let time = deadline.since(self.node.clock.now());
        let mut maker =
            FingerprintMaker::new(admitted.account.as_ref(), host(req.head()), req.head());
        let show = |piece: &[u8]| maker.body(piece);
        let body = read_body_with(req.take_payload(), limits.body_bytes, time, show).await;
        let body = body.map_err(|e| Refusal::from(&e))?;
        let fingerprint = maker.finish();
        let draw = self.node.rng.borrow_mut().random::<f64>();
        let service = admitted.route.pick_service(draw).ok_or(Refusal::NoService)?.clone();
        let service = admitted.snapshot.service(&service).ok_or(Refusal::NoService)?.clone();
        self.node.budget.borrow_mut().record_request(self.node.clock.now(), &service.name);
        let Admitted { route, account, snapshot } = admitted;
        let attempts = Attempts::new(route.repeat, route.max_runs, deadline);
        let origin = Origin { head: req.head().clone(), body, fingerprint };
        let mut life = Life::new(
            self.node.clone(),
            call.clone(),
            origin,
            Terms { route, account, service, version: snapshot.version },
            attempts,
            arrived,
            open,
        );
        if life.is_held() {
            life.is_try = self.node.claim_try(fingerprint).await;
        }
        Ok(life.run().await)
    }

    /// Lets a request that comes just after the start wait a little for the first copies.
    async fn wait_to_begin(&self) {
        let until = tokio::time::Instant::now() + BEGIN_TIME;
        while !self.node.has_begun() {
            let begun = self.node.begun.notified();
            if tokio::time::timeout_at(until, begun).await.is_err() {
                return;
            }
        }
    }

    fn admit(
        &self,
        req: &HttpRequest,
        call: &RequestMetadata,
        arrived: Timestamp,
    ) -> Result<Admitted, Refusal> {
        let head = req.head();
        let arrival = AdmissionRequest {
            host: host(head),
            path: head.uri.path(),
            key: call.api_key.as_deref(),
        };
        let bounds = self.node.cfg.borrow().bounds.gate();
        admit(&self.node.replica.borrow(), arrived, &bounds, arrival).map_err(Refusal::Denied)
    }
}

/// The host that the caller means.
fn host(head: &RequestHead) -> &str {
    let named = head.headers().get("host").and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or_default()
}

/// How long the caller waits; as long as the route allows when it does not say.
fn patience(call: &RequestMetadata) -> Duration {
    call.client_timeout.unwrap_or(Duration::MAX)
}
