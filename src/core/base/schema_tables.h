#ifndef SCHEMA_TABLES_H
#define SCHEMA_TABLES_H

/**
 * @file schema_tables.h
 * The schemas of the structs of each header, by type. An entry with a NULL
 * schema ends each group.
 */

#include "schema.h"

extern const struct schema_entry schema_link[];
extern const struct schema_entry schema_request[];
extern const struct schema_entry schema_control[];
extern const struct schema_entry schema_raft[];
extern const struct schema_entry schema_command[];
extern const struct schema_entry schema_op[];
extern const struct schema_entry schema_platform[];
extern const struct schema_entry schema_flow[];

/* Schemas that other schemas embed. */
extern const struct schema bundle_pool_schema;
extern const struct schema bundle_queue_schema;
extern const struct schema bundle_schema;
extern const struct schema claim_record_schema;
extern const struct schema cmd_bundle_sign_schema;
extern const struct schema cmd_job_cancel_schema;
extern const struct schema cmd_share_weight_schema;
extern const struct schema cmd_vm_quarantine_schema;
extern const struct schema cmd_zone_set_schema;
extern const struct schema flow_record_schema;
extern const struct schema flow_worker_schema;
extern const struct schema job_record_schema;
extern const struct schema member_schema;
extern const struct schema platform_start_schema;
extern const struct schema platform_task_schema;
extern const struct schema task_record_schema;
extern const struct schema vm_record_schema;
extern const struct schema zone_record_schema;

#endif /* SCHEMA_TABLES_H */
