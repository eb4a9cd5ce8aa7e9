// Package proof compares what entry instances reported to their clients with the stand-ins' audits.
package proof
