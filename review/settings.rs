//! The configurations of sidecars: the settings that the operators' interface page shows (galway), and those of the
//! deployment whose list of boxes was wrong (bangna) and of one with several data centres (dublin).

use std::net::SocketAddr;

/// The deployment whose settings are used.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Site {
    Galway,
    Bangna,
    Dublin,
}

pub struct Parameters<'a> {
    pub site: Site,
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: &'a str,
    pub balancers: usize,
    pub ordinal: usize,
    pub seed: u64,
}

pub fn config(parameters: &Parameters) -> String {
    let Parameters { site, name, listen, discovery, known, balancers, ordinal, seed } = parameters;
    let settings = match site {
        Site::Galway => galway(*balancers, *ordinal),
        Site::Bangna => bangna(*balancers, *ordinal),
        Site::Dublin => dublin(*balancers, *ordinal),
    };
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{settings}}}
"#
    )
}

fn galway(balancers: usize, ordinal: usize) -> String {
    format!(
        r#"{{"Balancers":{balancers},"Ordinal":{ordinal},"BeyondShareUtility":0.1,"Callers":{{"MarksRetry":true}},
"Costs":{{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.0,"LateFail":0.03,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.03,"Waste":0.014}},
"Discovery":"subscribe","Domain":{{"PassesDeadline":true}},"Family":"chain",
"Goal":{{"Whole":0.6,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.1}},
"Localities":["galway"],"Models":["front-fast","front-mid","front-slow"],"MyZone":0,
"PolicyLimits":{{"ConnIdle":30000000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeout":100000,"MaxOpen":20000,"MaxRetryAfter":2500000,"MayCancel":true,"MostRelays":6,"Multiplex":1,"ParallelTries":false,"Peers":false,"Probes":true,"RetryAfter":true}},
"Report":{{"Fields":["cpu","waiting","avg_ms"],"How":"probe"}},"Resolution":5000,
"Rules":{{"AnswerSlack":20000,"AskEvery":10000000,"Cold":8800000,"ColdShare":0.31,"DrainGrace":2500000,"Fall":2000000,"TipMultiple":3.0}},
"Tenants":[{{"Name":"corrib-insurance","QuotaRps":70.0,"Share":0.61}},{{"Name":"shannon-print","QuotaRps":29.0,"Share":0.25}},{{"Name":"claddagh-legal","QuotaRps":16.0,"Share":0.14}}],
"Tier":0,"Tiers":["booking-front","desk-core"],"UtilityBasis":"work",
"Verbs":[
{{"Effect":"idempotent","KeyScope":"all","MemorySpan":5000000,"Name":"floor-view","OverdueUtility":0.0,"ResponseGoal":2000000,"Streaming":false,"TimeLimit":5000000,"Utility":5.0}},
{{"Effect":"deduplicated","KeyScope":"cell","MemorySpan":2500000,"Name":"desk-hold","OverdueUtility":0.0,"ResponseGoal":750000,"Streaming":false,"TimeLimit":1500000,"Utility":3.0}},
{{"Effect":"at_most_once","KeyScope":"all","MemorySpan":5000000,"Name":"desk-confirm","OverdueUtility":0.0,"ResponseGoal":800000,"Streaming":false,"TimeLimit":2000000,"Utility":10.0}}],
"Weights":"none"}}"#
    )
}

fn bangna(balancers: usize, ordinal: usize) -> String {
    format!(
        r#"{{"Balancers":{balancers},"Ordinal":{ordinal},"BeyondShareUtility":0.2,"Callers":{{"MarksRetry":true}},
"Costs":{{"Connection":0.06,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.06,"LateFail":0.08,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0098,"Waste":0.15}},
"Discovery":"automatic","Domain":{{"PassesDeadline":true}},"Family":"chain",
"Goal":{{"Whole":0.1,"WorstClass":0.2,"WorstTenant":0.2,"WorstWindow":0.1,"LogLossPart":0.4,"FullAtNines":3.0}},
"Localities":["bangna-dc"],"Models":["front-fast","front-mid","front-slow"],"MyZone":0,
"PolicyLimits":{{"ConnIdle":15000000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeout":250000,"MaxOpen":20000,"MaxRetryAfter":2500000,"MayCancel":true,"MostRelays":5,"Multiplex":1,"ParallelTries":true,"Peers":false,"Probes":true,"RetryAfter":true}},
"Report":{{"Fields":["rps","active"],"How":"probe"}},"Resolution":5000,
"Rules":{{"AnswerSlack":20000,"AskEvery":10000000,"Cold":24000000,"ColdShare":0.13,"DrainGrace":250000,"Fall":3000000,"GoneIsAdvice":true,"TipMultiple":4.0}},
"Tenants":[{{"Name":"khon-yai","Share":0.58}},{{"Name":"chiangmai-move","Share":0.3}},{{"Name":"southern-haul","Share":0.12}}],
"Tier":0,"Tiers":["booking-front","booking-core"],"UtilityBasis":"request",
"Verbs":[
{{"Effect":"idempotent","KeyScope":"all","MemorySpan":5000000,"Name":"quote-view","OverdueUtility":0.3,"ResponseGoal":2000000,"Streaming":false,"TimeLimit":5000000,"Utility":2.0}},
{{"Effect":"idempotent","KeyScope":"all","MemorySpan":5000000,"Name":"slot-check","OverdueUtility":0.3,"ResponseGoal":1500000,"Streaming":false,"TimeLimit":4000000,"Utility":3.0}},
{{"Effect":"deduplicated","KeyScope":"cell","MemorySpan":10000000,"Name":"slot-hold","OverdueUtility":0.3,"ResponseGoal":2500000,"Streaming":false,"TimeLimit":6000000,"Utility":3.0}},
{{"Effect":"at_most_once","KeyScope":"all","MemorySpan":5000000,"Name":"job-confirm","OverdueUtility":0.3,"ResponseGoal":2500000,"Streaming":false,"TimeLimit":6000000,"Utility":10.0}}],
"Weights":"none"}}"#
    )
}

fn dublin(balancers: usize, ordinal: usize) -> String {
    format!(
        r#"{{"Balancers":{balancers},"Ordinal":{ordinal},"BeyondShareUtility":0.05,"Callers":{{"MarksRetry":false}},
"Costs":{{"Connection":0.0,"CrossZone":0.07,"Discovery":0.0,"Handshake":0.02,"LateFail":0.069,"Moves":0.0,"Origin":0.0,"Peer":0.01,"Probe":0.0,"Waste":0.045}},
"Discovery":"subscribe","Domain":{{"PassesDeadline":true}},"Family":"chain",
"Goal":{{"Whole":0.4,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.3}},
"Localities":["dub-west","dub-south","drogheda"],"Models":["front-large","front-medium","front-small"],"MyZone":0,
"PolicyLimits":{{"ConnIdle":30000000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeout":250000,"MaxOpen":20000,"MaxRetryAfter":2500000,"MayCancel":true,"MostRelays":5,"Multiplex":1,"ParallelTries":false,"Peers":false,"Probes":false,"RetryAfter":true}},
"Report":{{"Fields":["rps","active","err_rps"],"How":"answers"}},"Resolution":5000,
"Rules":{{"AnswerSlack":20000,"AskEvery":10000000,"Cold":24000000,"ColdShare":0.12,"DrainGrace":500000,"Fall":1000000,"TipMultiple":4.0}},
"Tenants":[{{"Name":"liffey-insurance","Share":1.0}}],
"Tier":0,"Tiers":["booking-front","desk-ledger"],"UtilityBasis":"request",
"Verbs":[
{{"Effect":"idempotent","KeyScope":"all","MemorySpan":5000000,"Name":"desk-lookup","OverdueUtility":0.0,"ResponseGoal":1500000,"Streaming":false,"TimeLimit":4000000,"Utility":5.0}},
{{"Effect":"deduplicated","KeyScope":"zone","MemorySpan":6000000,"Name":"desk-booking","OverdueUtility":0.0,"ResponseGoal":1500000,"Streaming":false,"TimeLimit":4000000,"Utility":10.0}}],
"Weights":"none"}}"#
    )
}
