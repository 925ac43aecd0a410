package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"

	"github.com/labstack/echo/v4"

	"sassafrasplank.example/sassafrasplank/internal/ledger"
	"sassafrasplank.example/sassafrasplank/internal/peer"
	"sassafrasplank.example/sassafrasplank/internal/recordstore"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// RecordList is the answer to a request for all records or those of one kind.
type RecordList struct {
	Revision int64           `json:"revision"`
	Records  []record.Record `json:"records"`
}

// Accepted is the answer to an accepted change. The change is committed, has been
// read back, and is in force on the answering host. After a dry run, it has only been
// validated, and Revision is the revision in force.
type Accepted struct {
	Revision int64 `json:"revision"`
	DryRun   bool  `json:"dryRun,omitempty"`
	// InForce is the number of live hosts that have reported the revision or a later
	// one, and Hosts the number of all live hosts.
	InForce int `json:"inForce"`
	Hosts   int `json:"hosts"`
}

// History is the answer to a request for the history of accepted changes.
type History struct {
	Entries []recordstore.HistoryEntry `json:"entries"`
}

// Hosts is the answer to a request for the state of the entry hosts.
type Hosts struct {
	// Revision is the revision in force on the answering host. Ready and RecentEnough
	// also apply to the answering host.
	Revision int64 `json:"revision"`
	Ready    bool  `json:"ready"`
	// RecentEnough reports whether the records of the host are recent enough to admit
	// requests.
	RecentEnough bool             `json:"defensible"`
	Hosts        []peer.HostState `json:"hosts"`
}

func (s *Server) list(c echo.Context) error {
	set := s.Records.Current()
	list := RecordList{Revision: set.Revision, Records: []record.Record{}}
	kind := record.Kind(c.QueryParam("kind"))
	for _, key := range slices.Sorted(maps.Keys(set.Records)) {
		if r := set.Records[key]; kind == "" || r.Kind == kind {
			list.Records = append(list.Records, r)
		}
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) get(c echo.Context) error {
	stored, found, err := s.Writer.Get(c.Request().Context(), record.Kind(c.Param("kind")), c.Param("name"))
	if err != nil {
		return err
	}
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "record "+c.Param("kind")+"/"+c.Param("name")+" does not exist")
	}
	return c.JSON(http.StatusOK, stored)
}

func (s *Server) put(c echo.Context) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxRecordBytes))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return echo.NewHTTPError(http.StatusRequestTimeout, "the body did not arrive in time")
	}
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	records, findings := record.DecodeFile("body", data)
	if err := findings.Err(); err != nil {
		return err
	}
	if len(records) != 1 {
		return echo.NewHTTPError(http.StatusBadRequest, "want exactly one record in the body")
	}
	r := records[0]
	if string(r.Kind) != c.Param("kind") || r.Name != c.Param("name") {
		return echo.NewHTTPError(http.StatusBadRequest, "the path is for "+c.Param("kind")+"/"+c.Param("name")+", the body for "+r.Key())
	}
	return s.change(c, record.Change{Record: r})
}

func (s *Server) remove(c echo.Context) error {
	r := record.Record{Kind: record.Kind(c.Param("kind")), Name: c.Param("name"), Schema: 1, Spec: json.RawMessage("{}")}
	return s.change(c, record.Change{Record: r, Deleted: true})
}

// change makes a change of a record, or only validates it in a dry run.
func (s *Server) change(c echo.Context, change record.Change) error {
	basedOn, err := queryInt(c, "basedOn")
	if err != nil {
		return err
	}
	if c.QueryParam("dryRun") == "true" {
		if err := s.Writer.Check(change).Err(); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, Accepted{Revision: s.Records.Current().Revision, DryRun: true})
	}
	name, _ := c.Get(operatorContextKey).(string)
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	revision, err := s.Writer.Apply(ctx, recordstore.Amendment{Operator: name, Change: change, BasedOn: basedOn})
	if err != nil {
		return err
	}
	accepted := Accepted{Revision: revision}
	for _, state := range s.Group.States() {
		if state.Status != "alive" {
			continue
		}
		accepted.Hosts++
		if state.Revision >= revision {
			accepted.InForce++
		}
	}
	return c.JSON(http.StatusOK, accepted)
}

func (s *Server) history(c echo.Context) error {
	after, err := queryInt(c, "after")
	if err != nil {
		return err
	}
	entries, err := s.Writer.History(c.Request().Context(), after, historyPageSize)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, History{Entries: entries})
}

func (s *Server) hosts(c echo.Context) error {
	return c.JSON(http.StatusOK, Hosts{
		Revision:     s.Records.Current().Revision,
		Ready:        s.Ready(),
		RecentEnough: s.Records.RecentEnough(),
		Hosts:        s.Group.States(),
	})
}

func (s *Server) ledger(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), ledgerSumTimeout)
	defer cancel()
	report, err := ledger.Sum(ctx, s.Ledger)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, report)
}
