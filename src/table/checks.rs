//! Validation of operators' documents. Reports all faults at once, each with its JSON pointer, the
//! value found and the value expected.

use super::OperatorTable;
use schemars::JsonSchema;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// Maximum number of characters of a value shown in a fault.
const MAX_SHOWN_CHARS: usize = 80;

/// One fault in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TableFault {
    /// JSON pointer (RFC 6901) to the value; `/` stands for the whole document.
    pub path: String,
    /// The value found, truncated.
    pub value: String,
    /// The value expected.
    pub expected: String,
}

impl fmt::Display for TableFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: found {}; expected {}", self.path, self.value, self.expected)
    }
}

/// All faults of one document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FaultList(pub Vec<TableFault>);

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(TableFault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for FaultList {}

impl FaultList {
    /// Adds a fault at `path`.
    pub fn add(
        &mut self,
        path: impl Into<String>,
        value: impl fmt::Display,
        expected: impl Into<String>,
    ) {
        self.0.push(TableFault {
            path: path.into(),
            value: value.to_string(),
            expected: expected.into(),
        });
    }
}

/// Parses a document of type `T`, reporting every violation of its JSON schema.
pub fn read_checked<T: DeserializeOwned + JsonSchema>(text: &str) -> Result<T, FaultList> {
    let value: Value = serde_json::from_str(text).map_err(|error| syntax_fault(&error))?;
    let schema =
        schemars::generate::SchemaSettings::draft07().into_generator().into_root_schema_for::<T>();
    let faults = schema_faults(schema.as_value(), &value);
    if !faults.0.is_empty() {
        return Err(faults);
    }
    serde_json::from_value(value.clone()).map_err(|error| {
        let mut faults = FaultList::default();
        faults.add("/", shorten(&value), error.to_string());
        faults
    })
}

fn syntax_fault(error: &serde_json::Error) -> FaultList {
    let mut faults = FaultList::default();
    let place = format!("line {}, column {}", error.line(), error.column());
    faults.add("/", place, format!("a JSON document ({error})"));
    faults
}

fn schema_faults(schema: &Value, value: &Value) -> FaultList {
    let mut faults = FaultList::default();
    // The library keeps the meta-schema of the draft in memory permanently. That of the newest
    // draft takes 24 MB, three quarters of an idle daemon's memory limit, so draft 7 is used.
    let Ok(validator) = jsonschema::draft7::new(schema) else {
        faults.add("/", "schema", "a usable schema; this is a fault of the program");
        return faults;
    };
    for error in validator.iter_errors(value) {
        let path = match error.instance_path.to_string() {
            path if path.is_empty() => "/".to_owned(),
            path => path,
        };
        faults.add(path, shorten(&error.instance), expectation(&error, schema));
    }
    faults
}

/// Describes what the schema expects, without the value, which is reported separately.
fn expectation(error: &jsonschema::ValidationError<'_>, schema: &Value) -> String {
    use jsonschema::error::{TypeKind, ValidationErrorKind as Kind};
    match &error.kind {
        Kind::AdditionalProperties { unexpected } => {
            format!("no member named {}", unexpected.join(", "))
        }
        Kind::Required { property } => format!("a member {property}"),
        Kind::Pattern { pattern } => format!("text matching {pattern}"),
        Kind::Minimum { limit } => format!("at least {limit}"),
        Kind::Maximum { limit } => format!("at most {limit}"),
        Kind::Enum { options } => format!("one of {options}"),
        Kind::Type { kind: TypeKind::Single(kind) } => format!("a value of type {kind}"),
        Kind::OneOfNotValid | Kind::AnyOf => {
            match choices(schema, &error.schema_path.to_string()) {
                choices if choices.is_empty() => error.to_string(),
                choices => format!("one of {}", choices.join(", ")),
            }
        }
        _ => error.to_string(),
    }
}

/// The constants allowed by the list of alternatives at `path` in the schema.
fn choices(schema: &Value, path: &str) -> Vec<String> {
    let mut place = schema;
    for step in path.split('/').skip(1) {
        let target = place
            .get("$ref")
            .and_then(Value::as_str)
            .and_then(|target| schema.pointer(target.trim_start_matches('#')));
        place = target.unwrap_or(place);
        let next = place.get(step).or_else(|| place.get(step.parse::<usize>().ok()?));
        place = match next {
            Some(next) => next,
            None if step == "$ref" => place,
            None => return Vec::new(),
        };
    }
    let alternatives = place.as_array().into_iter().flatten();
    let constants = alternatives.flat_map(|one| {
        one.get("const")
            .into_iter()
            .chain(one.get("enum").and_then(Value::as_array).into_iter().flatten())
    });
    constants.map(Value::to_string).collect()
}

fn shorten(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text,
    }
}

/// Parses a table and checks what its schema cannot express: unique names and valid references.
pub fn read_table(text: &str) -> Result<OperatorTable, FaultList> {
    let table: OperatorTable = read_checked(text)?;
    let faults = semantic_faults(&table);
    if faults.0.is_empty() { Ok(table) } else { Err(faults) }
}

/// Semantic faults of a table that conforms to the schema.
pub fn semantic_faults(table: &OperatorTable) -> FaultList {
    let mut faults = FaultList::default();
    add_duplicate_faults(
        &mut faults,
        table
            .tiers
            .iter()
            .enumerate()
            .map(|(i, row)| (format!("/tiers/{i}/tier"), row.tier.to_string())),
    );
    add_duplicate_faults(
        &mut faults,
        table
            .tiers
            .iter()
            .enumerate()
            .map(|(i, row)| (format!("/tiers/{i}/rank"), row.rank.to_string())),
    );
    organisation_faults(table, &mut faults);
    service_faults(table, &mut faults);
    assignment_faults(table, &mut faults);
    upstream_faults(table, &mut faults);
    table.add_route_faults(&mut faults);
    faults
}

fn organisation_faults(table: &OperatorTable, faults: &mut FaultList) {
    let rows = || table.organisations.iter().enumerate();
    add_duplicate_faults(
        faults,
        rows().map(|(i, row)| {
            (format!("/organisations/{i}/organisation"), row.organisation.to_string())
        }),
    );
    let digests = rows().flat_map(|(i, row)| {
        let places = row.key_digests.iter().enumerate();
        places.map(move |(k, digest)| {
            (format!("/organisations/{i}/key_digests/{k}"), digest.0.clone())
        })
    });
    add_duplicate_faults(faults, digests);
}

fn service_faults(table: &OperatorTable, faults: &mut FaultList) {
    let rows = || table.services.iter().enumerate();
    add_duplicate_faults(
        faults,
        rows().map(|(i, row)| (format!("/services/{i}/service"), row.service.to_string())),
    );
    for (i, row) in rows() {
        if table.tier(&row.default_tier).is_none() {
            faults.add(
                format!("/services/{i}/default_tier"),
                &row.default_tier,
                "the name of a tier in /tiers",
            );
        }
        for (k, name) in row.organisations.iter().flatten().enumerate() {
            if !table.organisations.iter().any(|row| row.organisation == *name) {
                let path = format!("/services/{i}/organisations/{k}");
                faults.add(path, name, "the name of an organisation in /organisations");
            }
        }
        for (k, method) in row.idempotent_methods.iter().flatten().enumerate() {
            if http::Method::from_bytes(method.as_bytes()).is_err()
                || method.to_uppercase() != *method
            {
                faults.add(
                    format!("/services/{i}/idempotent_methods/{k}"),
                    method,
                    "an HTTP method in capitals",
                );
            }
        }
    }
}

fn assignment_faults(table: &OperatorTable, faults: &mut FaultList) {
    for (i, row) in table.assignments.iter().enumerate() {
        if table.tier(&row.tier).is_none() {
            faults.add(format!("/assignments/{i}/tier"), &row.tier, "the name of a tier in /tiers");
        }
        if let Some(name) = &row.service
            && table.service(name.as_str()).is_none()
        {
            faults.add(
                format!("/assignments/{i}/service"),
                name,
                "the name of a service in /services",
            );
        }
        if let Some(name) = &row.organisation
            && !table.organisations.iter().any(|row| row.organisation == *name)
        {
            let path = format!("/assignments/{i}/organisation");
            faults.add(path, name, "the name of an organisation in /organisations");
        }
    }
}

fn upstream_faults(table: &OperatorTable, faults: &mut FaultList) {
    let rows = || table.upstreams.iter().enumerate();
    let names = rows().map(|(i, row)| {
        (format!("/upstreams/{i}/upstream"), format!("{}/{}", row.service, row.upstream))
    });
    add_duplicate_faults(faults, names);
    add_duplicate_faults(
        faults,
        rows().map(|(i, row)| (format!("/upstreams/{i}/address"), row.address.to_string())),
    );
    for (i, row) in rows() {
        if table.service(row.service.as_str()).is_none() {
            faults.add(
                format!("/upstreams/{i}/service"),
                &row.service,
                "the name of a service in /services",
            );
        }
    }
}

fn add_duplicate_faults(faults: &mut FaultList, places: impl Iterator<Item = (String, String)>) {
    let mut seen = BTreeSet::new();
    for (path, value) in places {
        if !seen.insert(value.clone()) {
            faults.add(path, value, "a value that no earlier row has");
        }
    }
}
