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

// refuser rules out requests that crash targets by a record, so that every
// host refuses them and an operator can lift the refusal by deleting it.
type refuser struct {
	host   string
	writer *recordstore.Writer
}

// Refuse writes the record. A record that is there already is left as it is.
func (r *refuser) Refuse(ctx context.Context, fingerprint, account string, until time.Time) error {
	spec, err := json.Marshal(record.Refusal{ClientAccount: account, Reason: "targets died while they ran it", NotAfter: until})
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
