package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// refuser writes a refusal record for a request that crashes targets. Every host
// then refuses the request, and an operator can lift the refusal by deleting the
// record.
type refuser struct {
	host   string
	writer *recordstore.Writer
}

// Refuse writes the record. An existing record is not changed.
func (r *refuser) Refuse(ctx context.Context, fingerprint, account string, until time.Time) error {
	spec, err := json.Marshal(record.Refusal{ClientAccount: account, Reason: "targets crashed while they ran it or prompts with this prefix", NotAfter: until})
	if err != nil {
		return fmt.Errorf("encoding refusal: %w", err)
	}
	refusal := record.Record{Kind: record.KindRefusal, Schema: 1, Name: fingerprint, Spec: spec}
	_, err = r.writer.Apply(ctx, recordstore.Amendment{Operator: r.host, Change: record.Change{Record: refusal}})
	var conflict *recordstore.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
