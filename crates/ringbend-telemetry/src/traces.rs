//! Trace spans with W3C trace context propagation.
//!
//! Without an OTLP address no spans are created, and the caller's context is passed on unchanged.

use std::collections::HashMap;
use std::fmt;

use async_trait::async_trait;
use bytes::Bytes;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{Span, SpanContext, SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{ExporterBuildError, Protocol, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use opentelemetry_sdk::{Resource, trace::Span as SdkSpan};
use tokio::sync::{mpsc, oneshot};

/// The header that carries the trace context.
const TRACEPARENT: &str = "traceparent";

/// Maximum number of exports waiting to be sent. Further ones are dropped.
const MAX_PENDING_EXPORTS: usize = 16;

/// The trace context of an incoming or outgoing request.
#[derive(Debug, Clone, Default)]
pub struct TraceContext {
    span: Option<SpanContext>,
}

impl TraceContext {
    /// Parses a `traceparent` header. A malformed header counts as absent.
    pub fn from_header(value: Option<&str>) -> Self {
        let Some(value) = value else { return Self::default() };
        let carrier = HashMap::from([(TRACEPARENT.to_owned(), value.to_owned())]);
        let cx = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let span = cx.span().span_context().clone();
        Self { span: span.is_valid().then_some(span) }
    }

    /// The `traceparent` header for outgoing requests.
    pub fn to_header(&self) -> Option<String> {
        let span = self.span.as_ref()?;
        let flags = span.trace_flags().to_u8();
        Some(format!("00-{}-{}-{flags:02x}", span.trace_id(), span.span_id()))
    }
}

/// The kind of a span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TraceSpanKind {
    /// Handling of an incoming request.
    Server,
    /// An outgoing request.
    Client,
    /// Work or waiting inside the instance.
    Internal,
}

/// A running span. It ends when it is dropped.
#[derive(Debug)]
pub struct TraceSpan {
    span: Option<SdkSpan>,
    context: TraceContext,
}

impl TraceSpan {
    /// The trace context for requests that are made within this span.
    pub fn context(&self) -> &TraceContext {
        &self.context
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&mut self, key: &'static str, value: impl fmt::Display) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }
}

impl Drop for TraceSpan {
    fn drop(&mut self) {
        if let Some(span) = &mut self.span {
            span.end();
        }
    }
}

/// One OTLP request, to be sent by the receiver of the export channel.
#[derive(Debug)]
pub struct Export {
    /// The HTTP request.
    pub request: http::Request<Bytes>,
    /// Takes the status of the response. Dropping it reports that the request failed.
    pub done: oneshot::Sender<http::StatusCode>,
}

#[derive(Debug)]
struct ExportClient {
    tx: mpsc::Sender<Export>,
}

#[async_trait]
impl HttpClient for ExportClient {
    async fn send_bytes(
        &self,
        request: http::Request<Bytes>,
    ) -> Result<http::Response<Bytes>, HttpError> {
        let (done, status) = oneshot::channel();
        self.tx.try_send(Export { request, done })?;
        let mut response = http::Response::new(Bytes::new());
        *response.status_mut() = status.await?;
        Ok(response)
    }
}

/// Creates spans.
#[derive(Debug, Clone, Default)]
pub struct Tracing {
    tracer: Option<(SdkTracer, SdkTracerProvider)>,
}

impl Tracing {
    /// Creates a tracer that exports its spans to `otlp_url`, the URL of the collector's traces endpoint.
    /// The caller sends the requests that arrive on the returned receiver.
    ///
    /// # Errors
    ///
    /// Fails if the URL is malformed.
    pub fn with_exporter(
        otlp_url: &str,
        instance: &str,
    ) -> Result<(Self, mpsc::Receiver<Export>), ExporterBuildError> {
        let (tx, rx) = mpsc::channel(MAX_PENDING_EXPORTS);
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_http_client(ExportClient { tx })
            .with_protocol(Protocol::HttpBinary)
            .with_endpoint(otlp_url)
            .build()?;
        let resource = Resource::builder()
            .with_service_name("ringbendd")
            .with_attribute(KeyValue::new("service.instance.id", instance.to_owned()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_resource(resource)
            .build();
        let tracer = provider.tracer("ringbendd");
        Ok((Self { tracer: Some((tracer, provider)) }, rx))
    }

    /// Starts a span as a child of `parent`.
    pub fn start_span(
        &self,
        name: &'static str,
        kind: TraceSpanKind,
        parent: &TraceContext,
    ) -> TraceSpan {
        let Some((tracer, _)) = &self.tracer else {
            return TraceSpan { span: None, context: parent.clone() };
        };
        let kind = match kind {
            TraceSpanKind::Server => SpanKind::Server,
            TraceSpanKind::Client => SpanKind::Client,
            TraceSpanKind::Internal => SpanKind::Internal,
        };
        let cx = match &parent.span {
            Some(span) => Context::new().with_remote_span_context(span.clone()),
            None => Context::new(),
        };
        let builder = tracer.span_builder(name).with_kind(kind);
        let span = tracer.build_with_context(builder, &cx);
        let context = TraceContext { span: Some(span.span_context().clone()) };
        TraceSpan { span: Some(span), context }
    }

    /// The tracer provider. It has to be shut down on another thread than the one that sends the exports,
    /// because the shutdown waits for the last export.
    pub fn provider(&self) -> Option<SdkTracerProvider> {
        self.tracer.as_ref().map(|(_, provider)| provider.clone())
    }
}
